/** A process on a host of the fake network. */
import type {Address, Connection} from '@kelpstep/rpc';

import type {HostTimer} from './host_timer';

/** A process and the ports it listens on. */
export interface HostProcess {
  /** IP of the host. */
  readonly host: string;
  readonly timer: HostTimer;
  readonly listeners: Map<Address, (connection: Connection) => void>;
}
