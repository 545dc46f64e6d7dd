import {describeFaultRuns} from './describe_fault_runs';

describeFaultRuns(251, 250);
