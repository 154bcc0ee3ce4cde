/**
 * Generates a rules file of the size that the system is designed for: 59 services with about two routes each.
 */
export const serviceCount = 59;
const routeCount = 120;
const tenantCount = 6;

/** Path of the route whose calls may run at most once (`repeat=no`). */
export const nonRepeatablePath = "/service-0/once";

/** Returns the rules file after a number of changes. Each change alters the timeout of one route. */
export function createRulesText(changes: number): string {
    const tenants = Array.from({ length: tenantCount }, (_, index) =>
        `tenant tenant-${index} weight=10 rate=500/s  # Fatou Ndoye: shops of district ${index}`);
    const services = Array.from({ length: serviceCount }, (_, index) =>
        `service ${createServiceName(index)} slots=6 connections=100  # Haruto Kubo: endpoints of service ${index}`);
    const routes = Array.from({ length: routeCount }, (_, index) => createRoute(index, changes));
    const nonRepeatableRoute = `route route-once path=${nonRepeatablePath} to=${createServiceName(0)} class=short timeout=2s repeat=no`
        + "  # Fatou Ndoye: runs at most once";
    return `${[...tenants, ...services, ...routes, nonRepeatableRoute].join("\n")}\n`;
}

/** Indexes beyond the last service start again at the first. */
export function createServiceName(index: number): string {
    return `service-${index % serviceCount}`;
}

function createRoute(index: number, changes: number): string {
    const changesOfRoute = Math.floor((changes + routeCount - 1 - index) / routeCount);
    const service = createServiceName(index);
    const path = index < serviceCount ? `/${service}` : `/${service}/detail-${Math.floor(index / serviceCount)}`;
    return `route route-${index} path=${path} to=${service} class=short timeout=${400 + changesOfRoute}ms repeat=yes `
        + `priority=${1 + index % 9}  # Moussa Sarr: reason for route ${index}`;
}
