/**
 * Gives processes the share of a core that the settings name, as a quota: a process runs at full speed until its quota
 * is used up, and not at all for the rest of that tenth of a second.
 */
import { readFileSync } from "node:fs";

const periodMs = 100;
const checkIntervalMs = 4;
const nanosecondsPerMillisecond = 1e6;
const millisecondsPerTick = 10;
/** Positions after the name of the program. */
const userTimeField = 11;
const systemTimeField = 12;

/** Processor time that the process has used. */
function readUsedMs(pid) {
    try {
        return Number(readFileSync(`/proc/${pid}/schedstat`, "utf8").split(" ")[0]) / nanosecondsPerMillisecond;
    }
    catch {
        return readUsedTicks(pid) * millisecondsPerTick;
    }
}

/** The same in ticks, for kernels without the finer figure; 0 after the end of the process. */
function readUsedTicks(pid) {
    try {
        const fields = readFileSync(`/proc/${pid}/stat`, "utf8").split(") ")[1].split(" ");
        return Number(fields[userTimeField]) + Number(fields[systemTimeField]);
    }
    catch {
        return 0;
    }
}

/** Limits the processes; returns a function that ends the limits. */
export function limitProcessors(machines, share) {
    const states = machines.map(({ child }) =>
        ({ child, usedBefore: readUsedMs(child.pid), isPaused: false, pauses: 0 }));
    let periodEndsAt = performance.now() + periodMs;
    const timer = setInterval(() => {
        const isNewPeriod = performance.now() >= periodEndsAt;
        if (isNewPeriod) {
            periodEndsAt = performance.now() + periodMs;
        }
        for (const state of states) {
            const used = readUsedMs(state.child.pid);
            if (isNewPeriod) {
                state.usedBefore = used;
                if (state.isPaused) {
                    state.isPaused = false;
                    state.child.kill("SIGCONT");
                }
            }
            else if (!state.isPaused && used - state.usedBefore >= share * periodMs) {
                state.isPaused = true;
                state.pauses++;
                state.child.kill("SIGSTOP");
            }
        }
    }, checkIntervalMs);
    return () => {
        clearInterval(timer);
        states.forEach(({ child }) => child.kill("SIGCONT"));
        return states.map(({ pauses }) => pauses);
    };
}
