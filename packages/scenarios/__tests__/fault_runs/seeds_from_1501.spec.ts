import {describeFaultRuns} from './describe_fault_runs';

describeFaultRuns(1501, 250);
