// Command lacewingturnd runs one instance of the system; its roles come from its settings.
package main

func main() {}
