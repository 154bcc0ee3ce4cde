import { MemoryStore } from "@bilberrycroft/protocol.store";
import { describeStoreContract } from "./storeContract";

describeStoreContract("MemoryStore", async scheduler => {
    const store = new MemoryStore({ scheduler });
    return { store, faults: store, close: async () => undefined };
});
