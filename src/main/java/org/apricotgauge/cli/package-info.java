/** Settings from flags and environment variables, checked as a whole before a program starts. */
package org.apricotgauge.cli;
