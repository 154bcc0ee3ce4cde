/**
 * Reads how many descriptors the system grants this process.
 */
import { readFileSync } from "node:fs";

const limitsFile = "/proc/self/limits";

/** Returns `undefined` if the system does not tell, or sets no limit. */
export function readDescriptorLimit(): number | undefined {
    try {
        const limit = Number(/^Max open files\s+(\d+)/m.exec(readFileSync(limitsFile, "utf8"))?.[1]);
        return limit > 0 ? limit : undefined;
    }
    catch {
        return undefined;
    }
}
