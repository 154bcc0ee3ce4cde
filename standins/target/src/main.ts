/** Entry point; the program is not written yet. */
process.exitCode = 2;
