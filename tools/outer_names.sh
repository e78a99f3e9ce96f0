#!/bin/sh
# Fails if a name in tests/data/outer_names.txt is no longer part of any string
# literal of the programs.  These names are visible outside a process: fields of
# messages and of stored values, keys of settings, flags, events and metrics.
set -eu
cd "$(dirname "$0")/.."
git ls-files '*.c' '*.h' '*.cc' | grep -vE '^(tests|bench|fuzz)/' |
    perl -e '
	open(my $list, "<", "tests/data/outer_names.txt") or die $!;
	chomp(my @names = grep { /\S/ && !/^#/ } <$list>);
	my $texts = "";
	while (my $path = <STDIN>) {
		chomp $path;
		open(my $file, "<", $path) or die "$path: $!";
		local $/;
		my $code = <$file>;
		$code =~ s{/\*.*?\*/|//[^\n]*}{ }gs;
		$code =~ s{^[ \t]*#[ \t]*include[^\n]*}{}gm;
		$texts .= "$1\n" while $code =~ /"((?:\\.|[^"\\\n])*)"/g;
	}
	# Conversions and escapes separate names.
	$texts =~ s/%[-0-9.*]*(?:ll|l|z|h)?[a-zA-Z]|\\./ /g;
	my @gone = grep {
		$texts !~ /(?<![A-Za-z0-9])\Q$_\E(?![A-Za-z0-9])/
	} @names;
	print "no string holds the outer name $_\n" for @gone;
	printf "%d outer names, %d gone\n", scalar @names, scalar @gone;
	exit(@gone || !@names ? 1 : 0);'
