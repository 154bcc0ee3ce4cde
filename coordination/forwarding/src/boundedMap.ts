/**
 * Size limit for maps with changing keys.
 */

/** Deletes the oldest entry if the map is full and does not contain `key`. Must be called before `key` is inserted. */
export function evictOldestIfFull<Key>(entries: Map<Key, unknown>, key: Key, limit: number): void {
    if (!entries.has(key) && entries.size >= limit) {
        entries.delete(entries.keys().next().value as Key);
    }
}
