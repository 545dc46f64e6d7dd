/** postject comes without types. */
declare module 'postject' {
  /** Puts data under a name into a program, in place. */
  export function inject(
    file: string,
    name: string,
    data: Buffer,
    options: {readonly sentinelFuse: string},
  ): Promise<void>;
}
