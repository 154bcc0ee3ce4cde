/**
 * The rule QUOTA as RULES.md states it, for one tenant: in any window, the requests that are both sent and arrive at an
 * endpoint that runs them.
 */

/** Largest number of requests that were both sent and run within some window. `runs` hold `sentAt` and `runAt`. */
export function countFullestWindow(runs, windowS) {
    let fullest = 0;
    for (const { sentAt: from } of runs) {
        const count = runs.filter(({ sentAt, runAt }) => sentAt >= from && runAt < from + windowS).length;
        fullest = Math.max(fullest, count);
    }
    return fullest;
}

export function computeBound({ ratePerS, burst, windowS, overage, slack }) {
    return (ratePerS * windowS + burst) * (1 + overage) + slack;
}
