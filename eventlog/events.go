package eventlog

import "github.com/sirupsen/logrus"

// Event numbers are stable: the number of a removed event is not used again. 10xx are
// daemon events, 11xx configuration, 12xx peers and members, 13xx requests, 14xx
// targets, 15xx moves, 16xx platform.
const (
	DaemonStarted       Event = 1001
	DaemonStopping      Event = 1002
	DaemonStopped       Event = 1003
	DutyFailed          Event = 1004
	SettingsRead        Event = 1005
	SettingsRefused     Event = 1006
	LogDropped          Event = 1007
	ConfigInForce       Event = 1101
	ConfigPublished     Event = 1102
	ConfigReadFailed    Event = 1103
	OperatorAction      Event = 1104
	OperatorRefused     Event = 1105
	ManifestTaken       Event = 1106
	ManifestRefused     Event = 1107
	SetRefused          Event = 1108
	EntryRefused        Event = 1109
	SourceLost          Event = 1110
	SourceBack          Event = 1111
	SourceRenewed       Event = 1112
	ObjectsLeftOut      Event = 1113
	ChangesWithheld     Event = 1114
	ChangesResumed      Event = 1115
	StoreRestored       Event = 1116
	OperatorRowsKept    Event = 1117
	SessionUp           Event = 1201
	SessionDown         Event = 1202
	MemberChanged       Event = 1203
	DaemonSilent        Event = 1204
	DaemonAnswers       Event = 1205
	RequestFailed       Event = 1301
	RequestQuarantined  Event = 1302
	RequestEnded        Event = 1303
	RequestRefused      Event = 1304
	AttemptFailed       Event = 1305
	PartsAccused        Event = 1306
	PartsBlocked        Event = 1307
	PartsAnswered       Event = 1308
	TargetDown          Event = 1401
	TargetUp            Event = 1402
	TargetReplaced      Event = 1408
	TargetEjected       Event = 1403
	TargetChanged       Event = 1405
	TargetReadmitted    Event = 1404
	TargetRegistered    Event = 1406
	TargetGone          Event = 1407
	TargetCold          Event = 1409
	TargetWarm          Event = 1410
	MoveChanged         Event = 1501
	MoveCut             Event = 1502
	OrderTaken          Event = 1503
	EvacuationBegun     Event = 1504
	EvacuationEnded     Event = 1505
	DataCentreLeftOut   Event = 1506
	DataCentreAnswers   Event = 1507
	PlatformUnavailable Event = 1601
)

// eventInfo is the level and text of an event.
type eventInfo struct {
	level logrus.Level
	text  string
}

// catalogue holds the level and text of every event; docs/events.md lists the same.
var catalogue = map[Event]eventInfo{
	DaemonStarted:       {logrus.InfoLevel, "daemon started"},
	DaemonStopping:      {logrus.InfoLevel, "daemon stops: readiness is off, requests in flight finish"},
	DaemonStopped:       {logrus.InfoLevel, "daemon stopped"},
	DutyFailed:          {logrus.ErrorLevel, "a duty ended with an error"},
	SettingsRead:        {logrus.InfoLevel, "settings file was read again"},
	SettingsRefused:     {logrus.ErrorLevel, "settings file has faults; the settings in force stay"},
	LogDropped:          {logrus.WarnLevel, "log lines were dropped because the output was too slow"},
	ConfigInForce:       {logrus.InfoLevel, "configuration generation is in force"},
	ConfigPublished:     {logrus.InfoLevel, "configuration generation was published"},
	ConfigReadFailed:    {logrus.WarnLevel, "configuration could not be read"},
	OperatorAction:      {logrus.InfoLevel, "operator changed the configuration"},
	OperatorRefused:     {logrus.WarnLevel, "administration request without a valid operator token"},
	ManifestTaken:       {logrus.InfoLevel, "manifest of the operator was taken"},
	ManifestRefused:     {logrus.ErrorLevel, "manifest does not pass its check; the one in force stays"},
	SetRefused:          {logrus.ErrorLevel, "objects do not pass their check as a whole; those in force stay"},
	EntryRefused:        {logrus.WarnLevel, "entry of the platform's store cannot be read and is skipped"},
	SourceLost:          {logrus.WarnLevel, "platform's store does not answer; the last picture stays in force"},
	SourceBack:          {logrus.InfoLevel, "platform's store answers again"},
	ObjectsLeftOut:      {logrus.ErrorLevel, "targets or moves do not pass their check and are left out of the set"},
	ChangesWithheld:     {logrus.WarnLevel, "platform's store does not answer this daemon, and no poller passes changes on; other daemons are asked"},
	StoreRestored:       {logrus.WarnLevel, "the platform's store was restored from an older copy"},
	OperatorRowsKept:    {logrus.InfoLevel, "rows of the operator that the restored store lacks changed"},
	ChangesResumed:      {logrus.InfoLevel, "changes come from the platform's store or a poller again"},
	SourceRenewed:       {logrus.InfoLevel, "store is asked for changes that no other daemon passed on"},
	SessionUp:           {logrus.InfoLevel, "session with a peer is up"},
	SessionDown:         {logrus.WarnLevel, "session with a peer ended"},
	MemberChanged:       {logrus.InfoLevel, "member changed its state"},
	DaemonSilent:        {logrus.WarnLevel, "daemon does not answer; its target groups go to the next owners"},
	DaemonAnswers:       {logrus.InfoLevel, "silent daemon answers again"},
	RequestFailed:       {logrus.WarnLevel, "request failed after it was accepted"},
	RequestQuarantined:  {logrus.WarnLevel, "request fingerprint is quarantined"},
	RequestEnded:        {logrus.InfoLevel, "request ended"},
	RequestRefused:      {logrus.InfoLevel, "request was refused"},
	AttemptFailed:       {logrus.InfoLevel, "attempt on a target failed"},
	PartsAccused:        {logrus.InfoLevel, "requests with these parts of a prompt may crash targets"},
	PartsBlocked:        {logrus.WarnLevel, "requests with these parts of a prompt crash targets and are refused"},
	PartsAnswered:       {logrus.InfoLevel, "target answered a request with accused or blocked parts"},
	TargetRegistered:    {logrus.InfoLevel, "target registered itself or changed its entry"},
	TargetGone:          {logrus.InfoLevel, "target has left the registry"},
	TargetDown:          {logrus.WarnLevel, "target does not answer its probe"},
	TargetUp:            {logrus.InfoLevel, "target answers its probe"},
	TargetReplaced:      {logrus.InfoLevel, "another target answers at the address of this one"},
	TargetCold:          {logrus.InfoLevel, "target is cold and gets only a limited number of requests per second"},
	TargetWarm:          {logrus.InfoLevel, "cold target is warm and gets requests without a limit"},
	TargetChanged:       {logrus.InfoLevel, "target changed its state"},
	TargetEjected:       {logrus.WarnLevel, "target is ejected on the evidence of its requests"},
	TargetReadmitted:    {logrus.InfoLevel, "ejected target passed its trials and is used again"},
	MoveChanged:         {logrus.InfoLevel, "move changed its phase or share"},
	MoveCut:             {logrus.WarnLevel, "version was cut to zero share"},
	OrderTaken:          {logrus.InfoLevel, "order to move a service was taken"},
	EvacuationBegun:     {logrus.WarnLevel, "evacuation of a data centre began"},
	EvacuationEnded:     {logrus.InfoLevel, "evacuation of a data centre ended"},
	DataCentreLeftOut:   {logrus.WarnLevel, "data centre gets no overflow because its owners do not answer"},
	DataCentreAnswers:   {logrus.InfoLevel, "data centre answers again and may get overflow"},
	PlatformUnavailable: {logrus.WarnLevel, "platform service does not answer"},
}
