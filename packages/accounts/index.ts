/** Client accounts: keys and quotas. */
export * from './src/account_directory';
export * from './src/key_digest';
