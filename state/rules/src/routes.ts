/**
 * Route lookup by path.
 */
import type { RouteRule, RuleSet } from "./types";

interface PathIndex {
    readonly routes: ReadonlyMap<string, RouteRule>;
    readonly longestPathLength: number;
}

/** Built on first use. Rule sets are immutable. */
const pathIndexes = new WeakMap<RuleSet, PathIndex>();

/**
 * Finds the route with the longest path prefix that ends on a segment boundary. The query string is ignored. The cost
 * depends on the longest path in the rules, not on the length of the requested path.
 */
export function findRoute(rules: RuleSet, path: string): RouteRule | undefined {
    const { routes, longestPathLength } = getPathIndex(rules);
    const query = path.indexOf("?");
    const end = query === -1 ? path.length : query;
    let candidate = path.slice(0, Math.min(end, longestPathLength + 1));
    if (end > longestPathLength && candidate.at(-1) !== "/") {
        candidate = candidate.slice(0, Math.max(candidate.lastIndexOf("/"), 0));
    }
    while (candidate.length > 0) {
        const route = routes.get(candidate);
        if (route !== undefined) {
            return route;
        }
        candidate = candidate.slice(0, Math.max(candidate.lastIndexOf("/"), 0));
    }
    return path.startsWith("/") ? routes.get("/") : undefined;
}

function getPathIndex(rules: RuleSet): PathIndex {
    const existing = pathIndexes.get(rules);
    if (existing !== undefined) {
        return existing;
    }
    const routes = new Map([...rules.routes.values()].map(route => [route.path, route]));
    const longestPathLength = [...routes.keys()].reduce((longest, path) => Math.max(longest, path.length), 0);
    const index: PathIndex = { routes, longestPathLength };
    pathIndexes.set(rules, index);
    return index;
}
