/**
 * Renders docs/fault-matrix.md from the table.
 */
import { CellKind, Fault, type Invariant, invariantsByStep, Step, toCell } from "./cells";
import { oddInputs } from "./oddInputs";
import { rolloutFaults } from "./rolloutFaults";
import { faultMatrix } from "./table";

const introduction = `# Fault matrix

Each fault of section 2.4 of the design page at each step of processing. This page is generated from
\`daemons/node/test/faultMatrix/table.ts\`; a test fails when it differs. To generate it again:
\`npx vitest run daemons/node/test/faultMatrix -u\`.

*Proved* names a test that \`npm test\` runs with this fault at or around this step, and the invariants that it checks.
Most of these tests run a state machine with fakes, a manual clock and fixed seeds; those under \`daemons/node\` use
sockets or processes on one machine. *Not proved* means that no test combines the fault and the step.
`;

/** All cells in the order of the page. */
export function listCells() {
    return Object.values(Fault).flatMap(fault => Object.values(Step).map(step => ({
        fault,
        step,
        cell: toCell(faultMatrix[fault][step]),
    })));
}

function renderFault(fault: Fault): string {
    const rows = listCells().filter(entry => entry.fault === fault).map(({ step, cell }) => {
        switch (cell.kind) {
            case CellKind.Proved: {
                const { invariants, file, test } = cell.proof;
                return `| ${step} | proved | ${invariants.join(", ")} | \`${file}\`: ${test} |`;
            }
            case CellKind.CannotOccur:
                return `| ${step} | cannot occur | | ${cell.reason} |`;
            case CellKind.NotProved:
                return `| ${step} | **not proved** | ${invariantsByStep[step].join(", ")} | |`;
        }
    });
    return [`## ${fault}`, "", "| step | state | invariants | test or reason |", "| --- | --- | --- | --- |", ...rows]
        .join("\n");
}

const invariants: readonly Invariant[] = ["I1", "I2", "I3", "I4", "I5", "I6", "I7", "I8", "I9"];

/** An invariant is proved if each cell that could violate it either has a test that checks it or cannot occur. */
function renderInvariant(invariant: Invariant): string {
    const cells = listCells();
    const proved = cells.filter(({ cell }) =>
        cell.kind === CellKind.Proved && cell.proof.invariants.includes(invariant));
    const unproved = cells.filter(({ cell, step }) => invariantsByStep[step].includes(invariant)
        && (cell.kind === CellKind.NotProved
            || (cell.kind === CellKind.Proved && !cell.proof.invariants.includes(invariant))));
    const state = proved.length === 0 ? "not proved" : unproved.length === 0 ? "proved" : "partly proved";
    const missing = unproved.map(({ fault, step }) => `${fault} at ${step}`).join("; ");
    const coverage = `${proved.length} cells with a test`;
    return `- ${invariant}: ${state}; ${coverage}${missing === "" ? "" : `; cells without a test: ${missing}`}`;
}

function renderOddInputs(): string {
    const rows = oddInputs.map(({ from, input, file, test }) => `| ${from} | ${input} | \`${file}\`: ${test} |`);
    return ["| from | input | test |", "| --- | --- | --- |", ...rows].join("\n");
}

function renderRolloutFaults(): string {
    const rows = rolloutFaults.map(({ fault, outcome, file, test }) => `| ${fault} | ${outcome} | \`${file}\`: ${test} |`);
    return ["| fault | outcome | test |", "| --- | --- | --- |", ...rows].join("\n");
}

export function renderPage(): string {
    return [
        introduction,
        ...Object.values(Fault).map(fault => `${renderFault(fault)}\n`),
        "## Odd input of others\n",
        `${renderOddInputs()}\n`,
        "## Faults during a rollout\n",
        `${renderRolloutFaults()}\n`,
        "## Points of section 2.2\n",
        ...invariants.map(renderInvariant),
        "",
    ].join("\n");
}
