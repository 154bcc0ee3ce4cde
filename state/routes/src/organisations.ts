/**
 * Keys of organisations.
 */
import { createHash } from "node:crypto";

/** Returns the digest by which a key is stored, relayed and looked up. Text is digested as UTF-8. */
export function digestKey(key: string | Buffer): string {
    return createHash("sha256").update(key).digest("base64url");
}
