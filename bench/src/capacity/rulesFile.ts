/**
 * A rules file of the size to design for: 59 services and two routes for each of them.
 */
export const serviceCount = 59;
const routeCount = 120;
const tenantCount = 6;

/** Path of a call that may not be repeated. */
export const oncePath = "/service-0/once";

/** Text of the file after a number of changes; each change alters the timeout of one route. */
export function createRulesText(changes: number): string {
    const tenants = Array.from({ length: tenantCount }, (_, index) =>
        `tenant tenant-${index} weight=10 rate=500/s  # Fatou Ndoye: shops of district ${index}`);
    const services = Array.from({ length: serviceCount }, (_, index) =>
        `service ${nameService(index)} slots=6 connections=100  # Haruto Kubo: endpoints of service ${index}`);
    const routes = Array.from({ length: routeCount }, (_, index) => createRoute(index, changes));
    const once = `route route-once path=${oncePath} to=${nameService(0)} class=short timeout=2s repeat=no`
        + "  # Fatou Ndoye: runs at most once";
    return `${[...tenants, ...services, ...routes, once].join("\n")}\n`;
}

/** Name of a service of the file. */
export function nameService(index: number): string {
    return `service-${index % serviceCount}`;
}

function createRoute(index: number, changes: number): string {
    const applied = Math.floor((changes + routeCount - 1 - index) / routeCount);
    const service = nameService(index);
    const path = index < serviceCount ? `/${service}` : `/${service}/detail-${Math.floor(index / serviceCount)}`;
    return `route route-${index} path=${path} to=${service} class=short timeout=${400 + applied}ms repeat=yes `
        + `priority=${1 + index % 9}  # Moussa Sarr: reason for route ${index}`;
}
