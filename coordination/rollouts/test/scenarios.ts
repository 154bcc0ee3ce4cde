/**
 * Behaviour of versions in played rollouts.
 */
import type { Random } from "@bilberrycroft/core.random";
import type { CallOutcome, Played, PlayedCall } from "./rolloutPlay";

type Behaviour = Pick<Played, "before" | "after" | "restartsAt">;

const failing = (share: number, isAffected: (call: PlayedCall) => boolean = () => true) =>
    (call: PlayedCall, random: Random): CallOutcome =>
        ({ fails: isAffected(call) && random.nextFraction() < share, slowdown: 1 });
const slow = (factor: number, isAffected: (call: PlayedCall) => boolean = () => true) =>
    (call: PlayedCall): CallOutcome => ({ fails: false, slowdown: isAffected(call) ? factor : 1 });
const isLate = ({ at }: PlayedCall): boolean => at >= 3_000;
const isLoaded = ({ share }: PlayedCall): boolean => share > 0.2;
const isRare = ({ route }: PlayedCall): boolean => route === "rare";
const isStarting = ({ targetAgeMs }: PlayedCall): boolean => targetAgeMs < 3_000;

/** The slowest machines of a service have 0.55 of the usual speed. */
const slowMachineFactor = 1.82;
/** Targets have noisy periods of about 600 ms; only one target is under test, so that its calls have them together. */
const noisyFactor = 2.5;
const noisyPart = 0.15;
const isNoisy = ({ at }: PlayedCall): boolean => Math.floor(at / 600) % 7 === 0;

/** None of them may be rolled back. */
export const goodVersions: Readonly<Record<string, Behaviour>> = {
    "like the old version": {},
    "targets twice as slow for 3 s after their start": { after: slow(2, isStarting) },
    "1.82 times as slow, on a slower machine with noisy periods": {
        before: (call, random) => slow(random.nextFraction() < noisyPart ? noisyFactor : 1)(call),
        after: call => slow(slowMachineFactor * (isNoisy(call) ? noisyFactor : 1))(call),
    },
    "both versions fail 30 % of the calls": { before: failing(0.3), after: failing(0.3) },
    "both versions fail 30 % from 3 s on": { before: failing(0.3, isLate), after: failing(0.3, isLate) },
    "both versions fail 40 % of a rare route": { before: failing(0.4, isRare), after: failing(0.4, isRare) },
    "both versions 4 times as slow from 3 s on": { before: slow(4, isLate), after: slow(4, isLate) },
    "a target restarts three times": { restartsAt: [1_500, 3_000, 5_000] },
};

/** All of them must be rolled back. */
export const badVersions: Readonly<Record<string, Behaviour>> = {
    "fails 20 %": { after: failing(0.2) },
    "fails 40 %": { after: failing(0.4) },
    "fails 60 %": { after: failing(0.6) },
    "3 times as slow": { after: slow(3) },
    "8 times as slow": { after: slow(8) },
    "fails 20 % from 3 s on": { after: failing(0.2, isLate) },
    "4 times as slow from 3 s on": { after: slow(4, isLate) },
    "fails 30 % under load": { after: failing(0.3, isLoaded) },
    "4 times as slow under load": { after: slow(4, isLoaded) },
    "fails 60 % of a rare route (3 % of the calls)": { after: failing(0.6, isRare) },
    "fails 30 % of a rare route (3 % of the calls)": { after: failing(0.3, isRare) },
    "5 times as slow on a rare route (3 % of the calls)": { after: slow(5, isRare) },
};
