/**
 * The project's own stand-ins that the cases 6 to 10 use.
 */
export { formatSettings, ports } from "../../platform/standins/mesh";
export { StoreFault, StoreStandin } from "../../platform/standins/store";
