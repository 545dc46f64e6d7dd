/** Copies of the platform's tables, distributed between proxies. */
export * from './src/create_table_feed';
export {type ProxyDescriptor, capacityOf} from './src/distributor_row';
export * from './src/feed_events';
