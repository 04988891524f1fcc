# A caller on a narrow link: it takes a whole answer at a steady rate through a small receive window.
# Arguments: address, port, method, path, identifier, size of the answer, bytes a second.
use strict;
use warnings;
use Socket qw(PF_INET SOCK_STREAM SOL_SOCKET SO_RCVBUF IPPROTO_TCP inet_aton sockaddr_in);

my ($address, $port, $method, $path, $id, $size, $rate) = @ARGV;
socket(my $socket, PF_INET, SOCK_STREAM, 0) or die "socket: $!";
# An ordinary Ethernet segment (TCP_MAXSEG), as between machines; loopback has segments of 64 KB.
setsockopt($socket, IPPROTO_TCP, 2, pack("i", 1460)) or die "segment: $!";
setsockopt($socket, SOL_SOCKET, SO_RCVBUF, pack("i", 4096)) or die "window: $!";
connect($socket, sockaddr_in($port, inet_aton($address))) or die "connect: $!";
my $body = $method eq "POST" ? "{}" : "";
my @head = ("$method $path HTTP/1.1", "Host: desk.example", "Attempt-Id: $id", "X-Api-Key: key-shop", "Deadline-Ms: 8000");
push @head, "Content-Length: " . length $body if $body ne "";
syswrite($socket, join("\r\n", @head) . "\r\n\r\n" . $body);
my $answer = "";
my $end = -1;
my $why = "closed";
while (1) {
    my $count = sysread($socket, my $bytes, 16384);
    if (!defined $count) { $why = "$!"; last }
    last if $count == 0;
    $answer .= $bytes;
    $end = index($answer, "\r\n\r\n") if $end < 0;
    if ($end >= 0 && length($answer) - $end - 4 >= $size) { $why = "whole"; last }
    select(undef, undef, undef, $count / $rate);
}
my $got = $end < 0 ? 0 : length($answer) - $end - 4;
printf "%s status %s, %d of %d bytes: %s\n", $id, substr($answer, 9, 3), $got, $size, $why;
