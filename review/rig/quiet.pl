# Clients behind links with small segments, as real links have. Each line on standard input is what
# one client sends, in hex digits. MODE quiet: a client sends it and then falls quiet, with its
# connection open. MODE reading: the same, but it reads its answers.
use strict;
use warnings;
use Socket qw(:all);
use IO::Select;
my ($port, $mode) = @ARGV;
my $select = IO::Select->new(\*STDIN);
my ($input, %held) = ('');
while (1) {
  for my $ready ($select->can_read(0.05)) {
    if (fileno($ready) == 0) {
      my $read = sysread(STDIN, $input, 1 << 20, length $input);
      exit 0 unless $read;
      while ($input =~ s/^([0-9a-f]+)\n//) {
        my $bytes = pack 'H*', $1;
        socket(my $client, PF_INET, SOCK_STREAM, IPPROTO_TCP) or die $!;
        setsockopt($client, IPPROTO_TCP, TCP_MAXSEG, 1400) or die $!;
        setsockopt($client, SOL_SOCKET, SO_RCVBUF, 8192) or die $!;
        connect($client, pack_sockaddr_in($port, INADDR_LOOPBACK)) or next;
        syswrite $client, $bytes;
        $held{fileno $client} = $client;
        $select->add($client) if $mode eq 'reading';
      }
    } else {
      my $read = sysread $ready, my $answers, 1 << 16;
      if (!$read) {
        $select->remove($ready);
        delete $held{fileno $ready};
        close $ready;
      }
    }
  }
}
