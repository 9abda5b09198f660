#include "eq.h"

/* What a request needs of the workers that serve it. */

/* Returns the sizes that a request states. */
struct room_request eq_room_request(const struct eq *eq)
{
	const struct rt_engine *engine = &eq->service->engine;

	return (struct room_request){
		.prompt = eq->request.prompt_tokens,
		.answer_hint = eq->request.answer_tokens_hint,
		.answer_max = eq->request.answer_tokens_max,
		.usual_prompt = engine->usual_prompt,
		.usual_answer = engine->usual_answer,
	};
}

/* Returns what a request needs: memory in tokens x layers, or one slot. */
double eq_need(const struct eq *eq)
{
	struct room_request request;

	if (!eq->service->has_engine)
		return 1;
	request = eq_room_request(eq);
	return room_mean_tokens(&request) * eq->service->engine.layers;
}
