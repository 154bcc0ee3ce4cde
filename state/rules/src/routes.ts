/**
 * Route lookup by path.
 */
import type { RouteRule, RuleSet } from "./types";

interface PathIndex {
    readonly routes: ReadonlyMap<string, RouteRule>;
    readonly longestPath: number;
}

/** Built on first use; a rule set never changes. */
const pathIndexes = new WeakMap<RuleSet, PathIndex>();

/**
 * Finds the route with the longest path prefix on segment boundaries. A query string is ignored. The cost depends on
 * the longest path of the rules, not on the length of the requested path.
 */
export function findRoute(rules: RuleSet, path: string): RouteRule | undefined {
    const { routes, longestPath } = indexPaths(rules);
    const query = path.indexOf("?");
    const end = query === -1 ? path.length : query;
    let candidate = path.slice(0, Math.min(end, longestPath + 1));
    if (end > longestPath && candidate.at(-1) !== "/") {
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

function indexPaths(rules: RuleSet): PathIndex {
    const known = pathIndexes.get(rules);
    if (known !== undefined) {
        return known;
    }
    const routes = new Map([...rules.routes.values()].map(route => [route.path, route]));
    const longestPath = [...routes.keys()].reduce((longest, path) => Math.max(longest, path.length), 0);
    const index: PathIndex = { routes, longestPath };
    pathIndexes.set(rules, index);
    return index;
}
