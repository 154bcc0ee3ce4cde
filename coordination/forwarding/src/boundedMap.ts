/**
 * Keeps maps whose keys come and go within a bound.
 */

/** Makes room for the key: drops the oldest entry of a full map that does not hold it yet. */
export function makeRoomFor<Key>(entries: Map<Key, unknown>, key: Key, limit: number): void {
    if (!entries.has(key) && entries.size >= limit) {
        entries.delete(entries.keys().next().value as Key);
    }
}
