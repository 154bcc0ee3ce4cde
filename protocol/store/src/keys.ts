/**
 * Keys of the project's own objects in the platform store.
 */

/** The snapshot in force. */
export const currentConfigurationKey = "config/current";

/** Prefix of archived snapshots. */
export const configurationHistoryPrefix = "config/history/";

/** Prefix of zone objects. */
export const zonePrefix = "zones/";

const versionDigits = 10;

/** Key of an archived snapshot; padded, so that keys sort by version. */
export function configurationHistoryKey(version: number): string {
    return `${configurationHistoryPrefix}${String(version).padStart(versionDigits, "0")}`;
}

/** Key of a zone's lease, roster and summary. */
export function zoneKey(zone: string): string {
    return `${zonePrefix}${zone}`;
}

/** Key of one shard of claims. */
export function claimShardKey(shard: number): string {
    return `claims/${shard}`;
}
