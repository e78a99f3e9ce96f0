#include "route/budget.h"

void
bf_budget_init(bf_budget_t *budget, uint32_t share_ppm, uint32_t burst)
{
	*budget = (bf_budget_t){
		.deposit_ppm = share_ppm,
		.balance_ppm = burst * BF_BUDGET_RETRY_PPM,
		.limit_ppm = burst * BF_BUDGET_RETRY_PPM,
	};
}

void
bf_budget_deposit(bf_budget_t *budget)
{
	budget->balance_ppm += budget->deposit_ppm;
	if (budget->balance_ppm > budget->limit_ppm)
		budget->balance_ppm = budget->limit_ppm;
}

bool
bf_budget_withdraw(bf_budget_t *budget)
{
	if (budget->balance_ppm < BF_BUDGET_RETRY_PPM)
		return false;
	budget->balance_ppm -= BF_BUDGET_RETRY_PPM;
	return true;
}
