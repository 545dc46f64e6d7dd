/** A process on a host of the fake network. */
import type {Address, Connection} from '@kelpstep/rpc';

import type {HostTimer} from './host_timer';

/** A process with its timer and its listeners. */
export interface HostProcess {
  /** IP address of the host. */
  readonly host: string;
  readonly timer: HostTimer;
  /** Accept callbacks by listen address. */
  readonly listeners: Map<Address, (connection: Connection) => void>;
}
