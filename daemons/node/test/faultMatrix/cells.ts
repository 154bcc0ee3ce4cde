/**
 * Types of the fault matrix: each fault of section 2.4 of the design page at each step of processing.
 */

/** Faults that the system must tolerate. */
export enum Fault {
    ProcessDeath = "process death",
    ManyProcesses = "many processes failing and restarting at once",
    SourceDown = "source of the configuration down",
    OutOfOrder = "updates out of order",
    StoreDown = "store down",
    StoreSlow = "store slow",
    ResponseLost = "store response lost after its write took effect",
    LeaseExpired = "lease expired while its holder was paused",
    ConcurrentOperators = "concurrent operators",
    CrashingRequest = "crashing request retried by its caller",
    ZonePartition = "zone partitioned from other zones",
    PlatformPartition = "zone partitioned from the platform",
    TargetSlowed = "target slowed",
    FalseLoadReport = "false load report",
    AnnouncementLost = "announcement lost",
}

/** Processing steps during which a fault can occur. */
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

/** Invariants that a fault at a step could violate. */
export const invariantsByStep: Readonly<Record<Step, readonly Invariant[]>> = {
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
    /** Part of the test's name, as written in the file. */
    readonly test: string;
    readonly invariants: readonly Invariant[];
}

export enum CellKind {
    Proved = "proved",
    CannotOccur = "cannot occur",
    NotProved = "not proved",
}

/** Coverage of one fault at one step. */
export type Cell =
    | { readonly kind: CellKind.Proved; readonly proof: Proof }
    | { readonly kind: CellKind.CannotOccur; readonly reason: string }
    | { readonly kind: CellKind.NotProved };

/** Cells of one fault. A step that is omitted is not proved. */
export type Row = Partial<Record<Step, Proof | string>>;

/** A proof marks the cell as proved; a string is the reason why the fault cannot occur at the step. */
export function toCell(entry: Proof | string | undefined): Cell {
    if (entry === undefined) {
        return { kind: CellKind.NotProved };
    }
    return typeof entry === "string"
        ? { kind: CellKind.CannotOccur, reason: entry }
        : { kind: CellKind.Proved, proof: entry };
}
