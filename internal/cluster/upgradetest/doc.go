// Package upgradetest checks that a new build takes over from an old one: it starts control-plane
// nodes and a dispatcher of the old build on loopback and temporary disks, submits jobs and
// configurations, and replaces the processes by those of the new build on the same disks.
//
// BASALTLOFT_OLD_BUILD and BASALTLOFT_NEW_BUILD name the folders of the two builds, each with
// basaltloft-core, basaltloft-edge and basaltloftctl (the latter of the new build only). A
// build that is not named is made from the present source, so that without either the test
// checks a restart. The script .ci/upgrade builds an old commit and runs the test.
package upgradetest
