/**
 * Validity of the addresses that other processes announce. Node's functions for connecting throw on a port that is out
 * of range, and look up a host that is not an IP address.
 */
import { isIP } from "node:net";

const maxPort = 65_535;
const portPattern = /^\d{1,5}$/;

/** Whether the text is `host:port` with an IP address, in brackets for IPv6, and a port that can be connected to. */
export function isSocketAddress(text: string): boolean {
    const separator = text.lastIndexOf(":");
    const host = text.slice(0, separator);
    const portText = text.slice(separator + 1);
    const isHost = host.startsWith("[") && host.endsWith("]") ? isIP(host.slice(1, -1)) === 6 : isIP(host) === 4;
    const port = portPattern.test(portText) ? Number(portText) : 0;
    return separator > 0 && isHost && port >= 1 && port <= maxPort;
}
