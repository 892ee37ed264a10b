package umberrun;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Random;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * The way from one process to another, for datagrams and connections: both at one port of its own.
 * Datagrams may be lost, late, doubled or cut off; what is cut off on a connection is swallowed, as
 * by a network that says nothing.
 */
final class Relay implements AutoCloseable {
  private static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();
  private static final ScheduledExecutorService LATER =
      Executors.newScheduledThreadPool(
          1,
          r -> {
            Thread t = new Thread(r, "relay");
            t.setDaemon(true);
            return t;
          });

  private final int to;
  private final ServerSocket connections;
  private final DatagramSocket datagrams;
  private final Random random = new Random(1);

  /** Nothing passes this way, or back on its connections. */
  volatile boolean cut;

  volatile boolean cutBack;
  volatile double loss;
  volatile double doubled;
  volatile long delayMillis;

  Relay(int to) throws IOException {
    this.to = to;
    this.connections = new ServerSocket(0, 50, LOOPBACK);
    this.datagrams =
        new DatagramSocket(new InetSocketAddress(LOOPBACK, connections.getLocalPort()));
    Scenario.daemon(this::passDatagrams);
    Scenario.daemon(
        () -> {
          while (true) {
            Socket from = connections.accept();
            Scenario.daemon(() -> connect(from));
          }
        });
  }

  int port() {
    return connections.getLocalPort();
  }

  void heal() {
    cut = false;
    cutBack = false;
    loss = 0;
    doubled = 0;
    delayMillis = 0;
  }

  private void passDatagrams() throws IOException {
    byte[] buffer = new byte[2_048];
    while (true) {
      DatagramPacket in = new DatagramPacket(buffer, buffer.length);
      datagrams.receive(in);
      if (cut || random.nextDouble() < loss) {
        continue;
      }
      byte[] bytes = java.util.Arrays.copyOf(buffer, in.getLength());
      int copies = random.nextDouble() < doubled ? 2 : 1;
      for (int i = 0; i < copies; i++) {
        long wait = delayMillis == 0 ? 0 : random.nextInt((int) delayMillis);
        LATER.schedule(
            () -> {
              try {
                datagrams.send(new DatagramPacket(bytes, bytes.length, LOOPBACK, to));
              } catch (IOException e) {
                // nobody listens there now
              }
            },
            wait,
            TimeUnit.MILLISECONDS);
      }
    }
  }

  private void connect(Socket from) throws IOException {
    try (Socket other = new Socket(LOOPBACK, to)) {
      Thread back = Scenario.daemon(() -> pass(other, from, false));
      pass(from, other, true);
      back.join();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      from.close();
    }
  }

  private void pass(Socket from, Socket to, boolean there) throws IOException {
    byte[] buffer = new byte[8_192];
    try (from;
        to) {
      InputStream in = from.getInputStream();
      OutputStream out = to.getOutputStream();
      for (int n; (n = in.read(buffer)) >= 0; ) {
        if (!(there ? cut : cutBack)) {
          out.write(buffer, 0, n);
        }
      }
    }
  }

  @Override
  public void close() throws IOException {
    connections.close();
    datagrams.close();
  }
}
