#ifndef CLK_H
#define CLK_H

#include <stdint.h>

int64_t clk_now_us(void);
int64_t clk_boot_us(void);
int64_t clk_wall_ms(void);

#endif /* CLK_H */
