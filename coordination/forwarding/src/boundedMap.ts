/**
 * Size limit for maps with changing keys.
 */

/** Call before inserting `key`: deletes the oldest entry if the map is full and does not contain the key. */
export function evictOldestIfFull<Key>(entries: Map<Key, unknown>, key: Key, limit: number): void {
    if (!entries.has(key) && entries.size >= limit) {
        entries.delete(entries.keys().next().value as Key);
    }
}
