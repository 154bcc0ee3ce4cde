/**
 * Addresses of listeners as settings and announcements write them.
 */

/** Host and port as Node's `net` and `http` take them. */
export interface SocketAddress {
    readonly host: string;
    readonly port: number;
}

/** Splits `host:port`; an IPv6 number stands in brackets. */
export function splitAddress(address: string): SocketAddress {
    const separator = address.lastIndexOf(":");
    return {
        host: address.slice(0, separator).replace(/^\[|\]$/g, ""),
        port: Number(address.slice(separator + 1)),
    };
}
