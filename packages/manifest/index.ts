/** Manifest and settings: schemas, checks, commits and synchronization. */
export * from './src/finding';
export * from './src/manifest_schema';
export * from './src/read_manifest';
export * from './src/settings_schema';
export * from './src/manifest_update';
export * from './src/yaml_document';
export * from './src/commit_failure';
export * from './src/commit_manifest';
export * from './src/manifest_synchronizer';
export * from './src/manifest_row';
