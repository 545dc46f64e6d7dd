/** Client of the platform's table service, object store and instance list. */
export * from './src/platform_client';
