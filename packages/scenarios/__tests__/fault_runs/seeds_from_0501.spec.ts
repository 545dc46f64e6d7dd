import {describeFaultRuns} from './describe_fault_runs';

describeFaultRuns(501, 250);
