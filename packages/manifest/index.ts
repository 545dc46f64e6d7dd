/** The manifest and the settings: schemas, findings, checks. */
export * from './src/finding';
export * from './src/manifest_schema';
export * from './src/read_manifest';
export * from './src/settings_schema';
export * from './src/succession';
export * from './src/yaml_document';
export * from './src/commit_failure';
export * from './src/commit_manifest';
export * from './src/manifest_keeper';
export * from './src/manifest_row';
