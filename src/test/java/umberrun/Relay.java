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
import java.util.Arrays;
import java.util.Random;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * Forwards UDP datagrams and TCP connections from a port of its own to a port of a process under
 * test, and injects network faults. Datagrams can be lost, delayed, duplicated or dropped
 * altogether. Bytes of a connection that is cut are discarded while the connection stays open, as
 * on a network that drops packets silently.
 */
final class Relay implements AutoCloseable {
  private static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();
  private static final ScheduledExecutorService DELAYED_SENDS =
      Executors.newScheduledThreadPool(
          1,
          r -> {
            Thread t = new Thread(r, "relay");
            t.setDaemon(true);
            return t;
          });

  private final int targetPort;
  private final ServerSocket serverSocket;
  private final DatagramSocket datagramSocket;
  private final Random random = new Random(1);

  /** Whether all datagrams and all bytes sent to the target are dropped. */
  volatile boolean dropsForward;

  /** Whether all bytes that the target sends back on its connections are dropped. */
  volatile boolean dropsBackward;

  /** The probability that a datagram is lost. */
  volatile double lossProbability;

  /** The probability that a datagram is duplicated. */
  volatile double duplicateProbability;

  /** The upper bound of the random delay of a datagram, in milliseconds; 0 for none. */
  volatile long delayMillis;

  /** Starts to forward to a port on the loopback address. */
  Relay(int targetPort) throws IOException {
    this.targetPort = targetPort;
    this.serverSocket = new ServerSocket(0, 50, LOOPBACK);
    this.datagramSocket =
        new DatagramSocket(new InetSocketAddress(LOOPBACK, serverSocket.getLocalPort()));
    Scenario.daemon(this::forwardDatagrams);
    Scenario.daemon(
        () -> {
          while (true) {
            Socket client = serverSocket.accept();
            Scenario.daemon(() -> forwardConnection(client));
          }
        });
  }

  /** Returns the port of this relay, for datagrams and connections alike. */
  int port() {
    return serverSocket.getLocalPort();
  }

  /** Ends all faults. */
  void heal() {
    dropsForward = false;
    dropsBackward = false;
    lossProbability = 0;
    duplicateProbability = 0;
    delayMillis = 0;
  }

  private void forwardDatagrams() throws IOException {
    byte[] buffer = new byte[2_048];
    while (true) {
      DatagramPacket in = new DatagramPacket(buffer, buffer.length);
      datagramSocket.receive(in);
      if (dropsForward || random.nextDouble() < lossProbability) {
        continue;
      }
      byte[] bytes = Arrays.copyOf(buffer, in.getLength());
      int copies = random.nextDouble() < duplicateProbability ? 2 : 1;
      for (int i = 0; i < copies; i++) {
        long delay = delayMillis == 0 ? 0 : random.nextInt((int) delayMillis);
        DELAYED_SENDS.schedule(
            () -> {
              try {
                datagramSocket.send(new DatagramPacket(bytes, bytes.length, LOOPBACK, targetPort));
              } catch (IOException e) {
                // The target is not listening, so the datagram is lost.
              }
            },
            delay,
            TimeUnit.MILLISECONDS);
      }
    }
  }

  private void forwardConnection(Socket client) throws IOException {
    try (Socket target = new Socket(LOOPBACK, targetPort)) {
      Thread backward = Scenario.daemon(() -> copyBytes(target, client, false));
      copyBytes(client, target, true);
      backward.join();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      client.close();
    }
  }

  private void copyBytes(Socket from, Socket to, boolean towardsTarget) throws IOException {
    byte[] buffer = new byte[8_192];
    try (from;
        to) {
      InputStream in = from.getInputStream();
      OutputStream out = to.getOutputStream();
      for (int count; (count = in.read(buffer)) >= 0; ) {
        if (!(towardsTarget ? dropsForward : dropsBackward)) {
          out.write(buffer, 0, count);
        }
      }
    }
  }

  @Override
  public void close() throws IOException {
    serverSocket.close();
    datagramSocket.close();
  }
}
