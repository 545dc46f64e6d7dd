/** The manifest that describes groups, members and request kinds. */
export * from './src/manifest_schema';
