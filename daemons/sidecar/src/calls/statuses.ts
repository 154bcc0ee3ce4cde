/** Statuses from here on mean that the target has failed the call. */
export const firstServerErrorStatus = 500;
