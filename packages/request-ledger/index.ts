/** At-most-once writes, settlement of idempotency keys, and transactions. */
export * from './src/commit';
export * from './src/confirm';
export * from './src/group_access';
export * from './src/idempotency_key';
export * from './src/ledger_policies';
export * from './src/primary_calls';
export * from './src/request_context';
export * from './src/settle_key';
export * from './src/transaction_id';
export * from './src/transaction_table';
export * from './src/transaction_types';
export * from './src/write';
