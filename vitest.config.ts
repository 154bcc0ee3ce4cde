/** Test settings. All test files of the workspace run in one vitest project, in worker threads. */
import { defineConfig } from "vitest/config";

export default defineConfig({
    test: {
        include: ["*/*/test/**/*.test.ts", "bench/test/**/*.test.ts", "platform/test/**/*.test.ts"],
        exclude: ["**/node_modules/**", "**/dist/**", "target/**"],
        testTimeout: 60_000,
        hookTimeout: 60_000,
        maxWorkers: 4,
    },
});
