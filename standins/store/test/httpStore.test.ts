import { HttpStore } from "@bilberrycroft/transport.store";
import { describeStoreContract } from "../../../protocol/store/test/storeContract";
import { startStoreStandin } from "../src";

describeStoreContract("HttpStore over the stand-in", async scheduler => {
    const standin = await startStoreStandin({ port: 0, scheduler });
    const store = new HttpStore({ address: standin.address });
    const close = async (): Promise<void> => {
        store.close();
        await standin.close();
    };
    return { store, faults: standin.faults, close };
});
