// Package upgradetest checks the upgrade from an old build to a new one: it starts control-plane nodes and a
// dispatcher of the old build on loopback and temporary directories, submits jobs and configurations, and
// replaces the processes by those of the new build on the same directories.
//
// BASALTLOFT_OLD_BUILD and BASALTLOFT_NEW_BUILD are the paths of the two builds' directories, each with
// basaltloft-core, basaltloft-edge and basaltloftctl (the last in the new build only). A build whose variable
// is not set is made from the current source, so that the test checks a restart if neither is set. The script
// .ci/upgrade builds an old commit and runs the test.
package upgradetest
