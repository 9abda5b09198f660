/*
 * Preloaded into a program.  Its PRELOAD_THREAD-th thread can't be started, as
 * at the limit on threads.
 */
#include <dlfcn.h>
#include <errno.h>
#include <pthread.h>
#include <stdlib.h>

typedef int create_fn(pthread_t *, const pthread_attr_t *, void *(*)(void *),
		      void *);

int pthread_create(pthread_t *thread, const pthread_attr_t *attr,
		   void *(*run)(void *), void *arg)
{
	static int started;
	create_fn *create = (create_fn *)dlsym(RTLD_NEXT, "pthread_create");
	const char *number = getenv("PRELOAD_THREAD");

	if (number &&
	    __atomic_add_fetch(&started, 1, __ATOMIC_RELAXED) == atoi(number))
		return EAGAIN;
	return create(thread, attr, run, arg);
}
