/** Types for postject, which ships none. */
declare module 'postject' {
  /** Injects data into an executable file, in place, as resource `name`. */
  export function inject(
    file: string,
    name: string,
    data: Buffer,
    options: {readonly sentinelFuse: string},
  ): Promise<void>;
}
