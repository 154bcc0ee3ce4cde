/**
 * Types of the fault matrix: each fault of section 2.4 of the design page at each step of the work.
 */

/** Faults that the system must stand. */
export enum Fault {
    ProcessDeath = "process death",
    ManyAtOnce = "many processes at once, and their return",
    SourceDown = "source of the configuration down",
    OutOfOrder = "updates out of order",
    StoreDown = "store down",
    StoreSlow = "store slow",
    ResponseLost = "store response lost after its write took effect",
    LeaseExpired = "lease expired under a paused holder",
    Operators = "concurrent operators",
    CrashingRequest = "crashing request retried by its caller",
    ZoneCut = "zone cut from other zones",
    PlatformCut = "zone cut from the platform",
    TargetSlowed = "target slowed",
    LyingReport = "load report that lies",
    AnnouncementLost = "announcement lost",
}

/** Steps of the work that a fault can meet. */
export enum Step {
    Start = "start",
    Fetch = "fetch",
    Check = "check",
    Apply = "apply",
    Report = "report",
    CallBegun = "call begun",
    CallAnswered = "call answered",
    Retry = "retry",
    Drain = "drain",
    Stop = "stop",
}

/** Invariants of section 2.2. */
export type Invariant = "I1" | "I2" | "I3" | "I4" | "I5" | "I6" | "I7" | "I8" | "I9";

/** Invariants that a fault at a step could break. */
export const invariantsOfStep: Readonly<Record<Step, readonly Invariant[]>> = {
    [Step.Start]: ["I1"],
    [Step.Fetch]: ["I1", "I9"],
    [Step.Check]: ["I2", "I3"],
    [Step.Apply]: ["I1", "I9"],
    [Step.Report]: ["I9"],
    [Step.CallBegun]: ["I5", "I6"],
    [Step.CallAnswered]: ["I4", "I5"],
    [Step.Retry]: ["I6"],
    [Step.Drain]: ["I7", "I8"],
    [Step.Stop]: ["I8"],
};

/** A test that runs with `npm test`. */
export interface Proof {
    readonly file: string;
    /** Part of the test's name as the file spells it. */
    readonly test: string;
    readonly invariants: readonly Invariant[];
}

/** Kinds of `Cell`. */
export enum CellKind {
    Proved = "proved",
    CannotOccur = "cannot occur",
    NotProved = "not proved",
}

/** What is known of one fault at one step. */
export type Cell =
    | { readonly kind: CellKind.Proved; readonly proof: Proof }
    | { readonly kind: CellKind.CannotOccur; readonly reason: string }
    | { readonly kind: CellKind.NotProved };

/** Cells of one fault; a step that is left out has no run. */
export type Row = Partial<Record<Step, Proof | string>>;

/** A test is a proof; a text says why the cell cannot occur. */
export function toCell(entry: Proof | string | undefined): Cell {
    if (entry === undefined) {
        return { kind: CellKind.NotProved };
    }
    return typeof entry === "string"
        ? { kind: CellKind.CannotOccur, reason: entry }
        : { kind: CellKind.Proved, proof: entry };
}
