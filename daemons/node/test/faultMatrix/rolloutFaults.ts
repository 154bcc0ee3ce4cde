/**
 * Faults during a rollout, and the tests that play them.
 */

export interface RolloutFault {
    readonly fault: string;
    readonly outcome: string;
    readonly file: string;
    /** Part of the test file that names the test. */
    readonly test: string;
}

const mesh = "platform/test/rollouts.test.ts";
const task = "daemons/sidecar/test/rolloutTask.test.ts";
const steps = "coordination/rollouts/test/steps.test.ts";
const scenarios = "coordination/rollouts/test/scenarios.ts";

function createFault(fault: string, outcome: string, file: string, test: string): RolloutFault {
    return { fault, outcome, file, test };
}

export const rolloutFaults: readonly RolloutFault[] = [
    createFault("bad version", "rolled back", mesh, "rolls a bad version back, with few calls to it and none afterwards"),
    createFault("both versions fail at the same time", "the new one is not condemned", scenarios, "both versions fail 30 % from 3 s on"),
    createFault("new target restarts", "not condemned", scenarios, "a target restarts three times"),
    createFault("acting node killed", "its successor finishes", mesh, "finishes when the acting node is killed after its first plan"),
    createFault("acting node killed between plan and status", "its successor writes the status", task, "writes a final status that its predecessor did not"),
    createFault("response to a write lost", "each step is done once", task, "finishes although the responses of its writes are lost"),
    createFault("two acting nodes", "they agree by the revisions", task, "agrees with another node that acts at the same time"),
    createFault("acting node frozen, wakes", "its write fails, it follows", task, "changes nothing when it wakes after another node took over"),
    createFault("acting node's watch silent", "the successor begins the rollout", task, "is told of an order that the acting node does not see"),
    createFault("nodes of a zone do not respond", "completed for those in contact", task, "completes while nodes of another zone do not respond"),
    createFault("nodes of a zone cannot be reached", "completed for those in contact", mesh, "completes for the nodes in contact while no node reaches those of one zone"),
    createFault("acting node hears of no node", "does not complete", steps, "does not complete a version if it hears of no node"),
    createFault("store away until after the deadline", "order not seen: carried out late; seen: rolled back", task, "carries out an order late that it could not see"),
    createFault("order replaced midway", "begins anew against the versions before", task, "begins anew against the versions before"),
    createFault("order withdrawn midway", "calls return to the versions before", task, "returns all calls to the versions before"),
    createFault("version appears without an order", "not used beside known ones", "coordination/forwarding/test/versionSplit.test.ts", "do not include a version that appears without an order"),
    createFault("address of a target went to another service", "the right target runs the call once", mesh, "does not run the call, and the right target runs it once"),
];
