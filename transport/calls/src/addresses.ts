/**
 * Parses addresses of the form `host:port` from settings and announcements.
 */

/** Host and port as options of Node's `net` and `http`. */
export interface SocketAddress {
    readonly host: string;
    readonly port: number;
}

/** Splits `host:port`; an IPv6 address is in brackets. */
export function splitAddress(address: string): SocketAddress {
    const separator = address.lastIndexOf(":");
    return {
        host: address.slice(0, separator).replace(/^\[|\]$/g, ""),
        port: Number(address.slice(separator + 1)),
    };
}
