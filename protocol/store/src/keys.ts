/**
 * Keys of the objects that bilberrycroft keeps in the platform store.
 */

/** Key of the active snapshot. */
export const currentConfigurationKey = "config/current";

export const configurationHistoryPrefix = "config/history/";

export const zonePrefix = "zones/";

const versionDigits = 10;

/** Key of an archived snapshot; the version is zero-padded, so that keys sort by version. */
export function configurationHistoryKey(version: number): string {
    return `${configurationHistoryPrefix}${String(version).padStart(versionDigits, "0")}`;
}

/** Key of the object that holds a zone's lease, roster and summary. */
export function zoneKey(zone: string): string {
    return `${zonePrefix}${zone}`;
}

/** Key of one shard of idempotency claims. */
export function claimShardKey(shard: number): string {
    return `claims/${shard}`;
}
