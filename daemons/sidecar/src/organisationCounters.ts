/**
 * Counts calls by organisation, for the largest ones by name and for all others together, so that the number of series
 * and the memory stay bounded with any number of organisations.
 *
 * A call is counted under the name that its organisation has at that moment. An organisation that is named later starts
 * at zero, and the counts of one that loses its name are added to the others, so that the sum over all series is always
 * the number of calls and no series but a lost one decreases.
 */
export interface OrganisationCount {
    /** Name of the organisation, or `otherLabel`. */
    readonly organisation: string;
    /** Labels of the outcome, as in the Prometheus text format. */
    readonly labels: string;
    readonly count: number;
}

/** Stands for all organisations without a series of their own, and for one of this name. */
const otherLabel = "other";
const maxNamed = 10;
/**
 * Organisations whose size is tracked. When another one appears, it takes the place and the size of the smallest
 * ("space-saving"), so that those with more than this fraction of all calls are always among them.
 */
const maxTracked = 64;

export class OrganisationCounters {
    private readonly sizes = new Map<string, number>();
    /** Counts by labels, of each named organisation and of the others. */
    private readonly counts = new Map<string, Map<string, number>>();

    record(organisation: string, labels: string): void {
        if (organisation === otherLabel) {
            return this.add(otherLabel, labels, 1);
        }
        this.recordSize(organisation);
        const isNamed = this.counts.has(organisation) || this.namedCount < maxNamed;
        this.add(isNamed ? organisation : otherLabel, labels, 1);
    }

    /** Selects the names again and returns all counts. */
    list(): readonly OrganisationCount[] {
        const bySize = [...this.sizes].sort(([, left], [, right]) => right - left);
        const largest = new Set(bySize.slice(0, maxNamed).map(([organisation]) => organisation));
        for (const [organisation, counts] of [...this.counts]) {
            if (organisation !== otherLabel && !largest.has(organisation)) {
                this.counts.delete(organisation);
                counts.forEach((count, labels) => this.add(otherLabel, labels, count));
            }
        }
        largest.forEach(organisation => this.countsOf(organisation));
        return [...this.counts].flatMap(([organisation, counts]) =>
            [...counts].map(([labels, count]) => ({ organisation, labels, count })));
    }

    private get namedCount(): number {
        return this.counts.size - (this.counts.has(otherLabel) ? 1 : 0);
    }

    private recordSize(organisation: string): void {
        const size = this.sizes.get(organisation);
        if (size !== undefined || this.sizes.size < maxTracked) {
            this.sizes.set(organisation, (size ?? 0) + 1);
            return;
        }
        const [smallest, least] = [...this.sizes].reduce((left, right) => right[1] < left[1] ? right : left);
        this.sizes.delete(smallest);
        this.sizes.set(organisation, least + 1);
    }

    private add(organisation: string, labels: string, count: number): void {
        const counts = this.countsOf(organisation);
        counts.set(labels, (counts.get(labels) ?? 0) + count);
    }

    private countsOf(organisation: string): Map<string, number> {
        const counts = this.counts.get(organisation) ?? new Map<string, number>();
        this.counts.set(organisation, counts);
        return counts;
    }
}
