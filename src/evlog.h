#ifndef EVLOG_H
#define EVLOG_H

/* Warnings of the event library as log lines, one a second at most. */

void evlog_start(int fatal_status);

#endif /* EVLOG_H */
